# Plots the weight sweep: gnuplot -e "user='kettle'; dir='bench/results'" bench/policy.gp
set terminal svg size 720,420 dynamic
set output dir.'/curve-'.user.'.svg'
set title user.': standard policy over cold\_weight, all seeds'
set xlabel 'idle accelerator hours of the day'
set ylabel 'cold calls, percent'
set grid
plot "< sed 's/=/ /g' ".dir.'/curve-'.user.'.txt' using 24:7 with linespoints title 'mean of the seeds', \
     '' using 24:7:3 with labels offset 1,1 notitle
