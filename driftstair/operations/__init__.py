"""Operations on a running node: servers taken out of service and put back, the node drained, the program
upgraded.

Without I/O, with the time as an argument: `calls` (the operators' API), `server_overrides` (operators'
changes to the server list, as shown to the decision module), `drain` (when a drained node closes client
connections), `state` (encoding of what outlives the process). With I/O: `operator_server` (the listener of
the operators' API), `handover` (from the old process to the new one), `service` (carries out the calls).

Imported only if the platform configures an address for operators' calls.
"""
