"""Membership of the tier by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's corrections (Dadgar, Phillips,
Currey 2018), as a state machine from events to actions."""
