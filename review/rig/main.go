package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(record string){
		"route": routeCase, "crash": crashCase, "count": countCase, "ends": endsCase, "waiting": waitingCase,
		"long": longCase, "lasting": lastingCase, "fills": fillsCase, "gang": gangCase,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	run(os.Args[2])
}
