package main

import (
	"fmt"
	"os"
)

// cases are what the folders beside this one show. others are what the report names
// as seen and not handed in.
var (
	cases = map[string]func(record string){
		"ends": endsCase, "route": routeCase, "lasting": lastingCase, "gang": gangCase,
	}
	others = map[string]func(record string){
		"fills": fillsCase, "crash": crashCase, "count": countCase, "waiting": waitingCase, "divided": dividedCase,
	}
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		run = others[os.Args[1]]
	}
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	run(os.Args[2])
}
