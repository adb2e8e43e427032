"""SWIM (Das, Gupta, Motivala 2002) with Lifeguard's corrections (Dadgar, Phillips, Currey 2018): who of the
tier lives. Events in, actions out."""
