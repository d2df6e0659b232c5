# GNU make. Variables: PREFIX, DESTDIR, SANITIZE (address,undefined | thread), CC, CXX.
VERSION = 0.1.0
PREFIX ?= /usr/local
CC = gcc
CXX = g++
BUILD ?= build$(if $(SANITIZE),-$(firstword $(subst $(comma), ,$(SANITIZE))))
comma := ,
PKGS = libmicrohttpd libcurl glib-2.0 jansson libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lck -lmsgpackc -largtable2 -lm
SAN = $(if $(SANITIZE),-fsanitize=$(SANITIZE) -fno-omit-frame-pointer)
WARN = -Wall -Wextra -Werror -Wshadow -Wpointer-arith -Wvla -Wno-unused-result
CPPFLAGS += -D_GNU_SOURCE -DPARSLEYRILL_VERSION='"$(VERSION)"' -Isrc -Iplatform $(PKG_CFLAGS)
CFLAGS += -std=c17 -O2 -g -fPIC -pthread $(WARN) -Wmissing-prototypes -Wstrict-prototypes $(SAN)
CXXFLAGS += -std=c++17 -O1 -g -pthread -Wall -Wextra -Werror $(SAN)
LDFLAGS += -pthread $(SAN)

LIB_OBJ = $(patsubst src/%.c,$(BUILD)/src/%.o,$(wildcard src/*.c))
STANDIN_OBJ = $(patsubst standins/%.c,$(BUILD)/standins/%.o,$(wildcard standins/*.c))
BENCH_OBJ = $(patsubst bench/%.c,$(BUILD)/bench/%.o,$(wildcard bench/*.c))
PLATFORM_OBJ = $(patsubst platform/%.c,$(BUILD)/platform/%.o,$(wildcard platform/*.c))
LIB_A = $(BUILD)/libparsleyrill.a
LIB_SO = $(BUILD)/libparsleyrill.so.0
STANDIN_A = $(BUILD)/libstandin.a
PLATFORM_A = $(BUILD)/libplatform.a
PROGRAMS = $(BUILD)/parsleyd $(BUILD)/parsleyctl $(BUILD)/parsley-gate $(if $(STANDIN_OBJ),$(BUILD)/parsley-standin) $(if $(BENCH_OBJ),$(BUILD)/parsley-bench)
TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test_*.c))
PROPS = $(patsubst tests/%.cc,$(BUILD)/tests/%,$(wildcard tests/prop_*.cc))
# Run one at a time after all others: they check what a process needs at most.
SERIAL_TESTS = $(filter $(BUILD)/tests/test_hostile_%,$(TESTS))
SOCKET_TESTS = $(sort $(wildcard tests/sock_*.sh))
FUZZERS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/fuzz_*.c))
C_FILES = $(wildcard src/*.c platform/*.c daemons/*.c standins/*.c bench/*.c tests/*.c)
H_FILES = $(wildcard src/*.h src/*.def platform/*.h standins/*.h bench/*.h tests/*.h)
CC_FILES = $(wildcard tests/*.cc)

all: $(LIB_A) $(LIB_SO) $(PROGRAMS) $(BUILD)/parsleyrill.pc

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(LIB_A): $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(LIB_SO): $(LIB_OBJ)
	$(CC) -shared -Wl,-soname,libparsleyrill.so.0 $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/parsleyd $(BUILD)/parsleyctl: $(BUILD)/%: $(BUILD)/daemons/%.o $(LIB_A)
	$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(PLATFORM_A): $(PLATFORM_OBJ)
	rm -f $@
	ar rcs $@ $^

$(BUILD)/parsley-gate: $(BUILD)/daemons/parsley-gate.o $(PLATFORM_A) $(LIB_A)
	$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/parsley-standin: $(STANDIN_OBJ) $(LIB_A)
	$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/parsley-bench: $(BENCH_OBJ) $(LIB_A)
	$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(STANDIN_A): $(filter-out %/main.o,$(STANDIN_OBJ))
	rm -f $@
	ar rcs $@ $^

$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(STANDIN_A) $(PLATFORM_A) $(LIB_A)
	$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(BUILD)/tests/cut_paths.so: tests/cut_paths.c
	@mkdir -p $(@D)
	$(CC) $(filter-out -fsanitize=%,$(CFLAGS)) -fPIC -shared $< -ldl -o $@

$(BUILD)/tests/test_processes: | $(BUILD)/tests/cut_paths.so

$(BUILD)/tests/prop_%: tests/prop_%.cc $(PLATFORM_A) $(LIB_A)
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP $< $(PLATFORM_A) $(LIB_A) $(LDFLAGS) -lrapidcheck $(PKG_LIBS) -o $@

$(BUILD)/tests/fuzz_%: tests/fuzz_%.c $(wildcard src/*.c)
	@mkdir -p $(@D)
	clang $(CPPFLAGS) -std=c17 -O1 -g -fsanitize=fuzzer,address $^ $(PKG_LIBS) -pthread -o $@

$(BUILD)/parsleyrill.pc: FORCE
	@mkdir -p $(@D)
	printf 'prefix=%s\nlibdir=$${prefix}/lib\nincludedir=$${prefix}/include\n\nName: parsleyrill\nDescription: serving system for rarely used models\nVersion: %s\nRequires.private: %s\nLibs: -L$${libdir} -lparsleyrill\nCflags: -I$${includedir}/parsleyrill\n' \
	  '$(PREFIX)' '$(VERSION)' '$(PKGS)' > $@

check: all $(TESTS) $(PROPS)
	BUILD=$(BUILD) SERIAL_TESTS="$(SERIAL_TESTS)" scripts/check.sh $(filter-out $(SERIAL_TESTS),$(TESTS)) $(PROPS) $(SOCKET_TESTS)

check-long: all $(TESTS) $(PROPS)
	BUILD=$(BUILD) RC_LONG=1 SERIAL_TESTS="$(SERIAL_TESTS)" scripts/check.sh $(filter-out $(SERIAL_TESTS),$(TESTS)) $(PROPS) $(SOCKET_TESTS)

tests: all $(TESTS) $(PROPS)

deps:
	scripts/deps.sh

demo: deps
	$(MAKE) -s all
	BUILD=$(BUILD) scripts/demo.sh

bench: all
	BUILD=$(BUILD) scripts/bench.sh

fuzz: $(FUZZERS)
	BUILD=$(BUILD) scripts/fuzz.sh $(FUZZERS)

format:
	clang-format -i $(C_FILES) $(filter %.h,$(H_FILES)) $(CC_FILES)

# Words of the platform's protocol, which only platform/ and its tests know.
PLATFORM_WORDS = Parsleyrill-|Store-Era|Server-Leaving|Server-Limit|Server-Brittle|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|/v1/(order|report|resolve|ready|hold-|kv-)|FencingToken|WeightsMb|TargetLatencyMs|TrafficSplit|"PARSLEYRILL_SETTINGS

lint:
	! grep -rnE '$(PLATFORM_WORDS)' src daemons standins bench
	clang-format --dry-run --Werror $(C_FILES) $(filter %.h,$(H_FILES)) $(CC_FILES)
	printf '%s\n' $(filter src/% platform/% daemons/% standins/% bench/%,$(C_FILES)) | xargs -P 8 -I{} clang-tidy --quiet {} -- $(CPPFLAGS) -std=c17 2>$(or $(TMPDIR),/tmp)/parsleyrill-tidy.err
	cppcheck --quiet --error-exitcode=1 --std=c11 --enable=warning,performance,portability --inline-suppr --suppress=missingIncludeSystem --suppress=uninitvar -D_GNU_SOURCE -Isrc -Iplatform -j 8 src platform daemons standins bench

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig $(DESTDIR)$(PREFIX)/include/parsleyrill $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 755 $(PROGRAMS) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB_A) $(DESTDIR)$(PREFIX)/lib
	install -m 755 $(LIB_SO) $(DESTDIR)$(PREFIX)/lib
	ln -sf libparsleyrill.so.0 $(DESTDIR)$(PREFIX)/lib/libparsleyrill.so
	install -m 644 $(BUILD)/parsleyrill.pc $(DESTDIR)$(PREFIX)/lib/pkgconfig
	install -m 644 src/*.h $(DESTDIR)$(PREFIX)/include/parsleyrill
	if ls docs/man/*.1 >/dev/null 2>&1; then install -m 644 docs/man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1; fi

uninstall:
	rm -f $(addprefix $(DESTDIR)$(PREFIX)/bin/,parsleyd parsleyctl parsley-standin parsley-bench)
	rm -f $(DESTDIR)$(PREFIX)/lib/libparsleyrill.* $(DESTDIR)$(PREFIX)/lib/pkgconfig/parsleyrill.pc
	rm -rf $(DESTDIR)$(PREFIX)/include/parsleyrill
	rm -f $(addprefix $(DESTDIR)$(PREFIX)/share/man/man1/,$(notdir $(wildcard docs/man/*.1)))

dist:
	git archive --prefix=parsleyrill-$(VERSION)/ -o parsleyrill-$(VERSION).tar.gz HEAD

clean:
	rm -rf build build-address build-thread target

distclean: clean
	rm -f compile_commands.json parsleyrill-*.tar.gz

.PHONY: all check check-long tests deps demo bench fuzz format lint install uninstall dist clean distclean
FORCE:

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
