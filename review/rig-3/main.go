// Command rig3 plays the cases of review/REPORT-3.md: real instances of cairnbay as processes,
// and stand-ins of the platform, its runners and its clients, on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// cases are the scenarios by name.
var cases = map[string]func(*world){
	"crossed":    crossed,
	"crashloop":  crashLoop,
	"zoneloss":   zoneLoss,
	"zonecut":    zoneCut,
	"badid":      badID,
	"dotid":      dotID,
	"overcommit": overcommit,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	cases[os.Args[1]](w)
	w.finish()
}

func step(count, cpu, mem, est int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem-mb": mem, "est-runtime-ms": est}
	for k, v := range more {
		s[k] = v
	}
	return s
}
