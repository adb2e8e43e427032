"""Experiments on the model of the fleet: which inputs vary, all runs, and differences with intervals.

`design` reads an experiment's file and lists its runs, `runs` executes them, and `store` saves each result,
so that no run is repeated after a kill. `statistics` compares pairs of runs with the same seed, `report`
summarizes the results, and `command` prints them.
"""
