package main

import (
	"os"
	"time"
)

// playDeparture plays the planned stop of a replica, and then configurations in quick succession. The other replica receives nothing
// for a while, the primary crashes meanwhile, and all processes of the system are killed. It reports whether an instance was
// promoted that lacks an acknowledged write.
func playDeparture(hasTrouble bool) bool {
	d := startDatabases()
	primary, leaving, deaf := d.group.Instances()[0], d.group.Instances()[1], d.group.Instances()[2]
	at(4.5)
	d.store.Compact()
	record("the store keeps no history of before from now on: it is 20 s old when it is asked for")
	at(17)
	record("%s is about to be stopped as planned, and says so", leaving.ID)
	leaving.AnnounceStop()
	if hasTrouble {
		at(24)
		d.deafen(deaf, 7*time.Second)
	}
	at(25.5)
	record("%s stops", leaving.ID)
	leaving.Crash()
	d.removeEntry(leaving)
	at(26)
	for range 25 { // a config_storm with gap_s 0.06, for 1.5 s
		d.op.write(d.routes...)
		time.Sleep(60 * time.Millisecond)
	}
	if hasTrouble {
		at(30.2)
		d.crash(primary, 7*time.Second)
		at(30.4)
		d.killVMs()
	}
	at(50)
	return d.hasLost()
}

// playEmpty plays a replica that crashes and starts again under its identity, without what it held. The other replica receives
// nothing for a while, the primary crashes meanwhile, and all processes of the system are killed. It reports whether an instance
// was promoted that lacks an acknowledged write.
func playEmpty(hasTrouble bool) bool {
	d := startDatabases()
	primary, empty, deaf := d.group.Instances()[0], d.group.Instances()[1], d.group.Instances()[2]
	if hasTrouble {
		at(8)
		d.deafen(deaf, 7*time.Second)
		at(9.5)
		d.crash(primary, 7*time.Second)
		record("%s crashes", empty.ID)
		empty.Crash()
		at(10.5)
		record("%s starts again and holds nothing", empty.ID)
		if err := empty.RestartEmpty(); err != nil {
			giveUp(err.Error())
		}
		empty.Register()
		if os.Getenv("TROUBLE") != "instances" { // instances: the VMs are not killed
			d.killVMs()
		}
	}
	at(35)
	return d.hasLost()
}
