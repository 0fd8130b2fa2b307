package soak

import "time"

// Regression is a run that failed once.
type Regression struct {
	Seed                                 uint64
	Duration                             time.Duration
	Hosts, ControlHosts, Groups, Callers int
	// Cause is what was found, or "open" with what was seen.
	Cause string
}

// Regressions are the runs that failed once, with their causes. Each is run again with
// the flag --regressions.
var Regressions = []Regression{
	{
		Seed: 114, Duration: 30 * time.Second, Hosts: 5, ControlHosts: 3, Groups: 2, Callers: 16,
		Cause: "fault of the soak: another process took the port of an instance before its start; ports now lie below the range of outgoing connections",
	},
	{
		Seed: 115, Duration: 30 * time.Second, Hosts: 5, ControlHosts: 3, Groups: 2, Callers: 16,
		Cause: "as seed 114",
	},
	{
		Seed: 3103, Duration: 20 * time.Second, Hosts: 5, ControlHosts: 3, Groups: 2, Callers: 16,
		Cause: "fault of the soak: a group was in a change of primary when the rows were read at the end, and every write counted as lost; the rows are now read for as long as a change may take",
	},
	{
		Seed: 3104, Duration: 20 * time.Second, Hosts: 5, ControlHosts: 3, Groups: 2, Callers: 16,
		Cause: "open: before the first fault the control hosts went through 26 terms in 24 s, and no operator got an answer for 30 s; seen once, on a machine with a load of 83 to 97",
	},
	{
		Seed: 4001, Duration: 20 * time.Second, Hosts: 5, ControlHosts: 3, Groups: 2, Callers: 16,
		Cause: "open: group-1 served no write for 20 s after the last fault, bound 16 s, with 13 control leaders in 74 s; seen once, at a load of 137 on 7 processors; a second run at a load of 45 to 80 kept it (longest gap 1.8 s)",
	},
	{
		Seed: 4102, Duration: 20 * time.Second, Hosts: 5, ControlHosts: 3, Groups: 2, Callers: 16,
		Cause: "open: group-2 served no write for 16.5 s after the last fault, bound 16 s; seen once, at a load of 137 on 7 processors; a second run at a load of 45 to 80 kept it (longest gap 1.0 s)",
	},
	{
		Seed: 4212, Duration: 20 * time.Second, Hosts: 5, ControlHosts: 3, Groups: 2, Callers: 16,
		Cause: "fault of the product: writes of term 1 that were answered as lost (not run) after term 2 began came back, because the old primary was promoted in term 3 before it had given up its end of the log; mended, see failover.TestLostWritesAreNotPromoted",
	},
}
