// Command rig plays one case of the review: stand-ins of the users' platform, runners and
// clients in this process, and instances of the system as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// maxPlay bounds a play; scripts may take 120 s.
const maxPlay = 112 * time.Second

// cases maps the name of a case to its play. trouble says whether the disruption happens.
// An error means that the case could not run.
var cases = map[string]func(w *world, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := []string{}
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: rig CASE RECORD; cases: %v\n", names)
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ended := make(chan error, 1)
	go func() { ended <- cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-ended:
	case <-stopped:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(maxPlay):
		err = fmt.Errorf("no verdict after %v", maxPlay)
	}
	w.mu.Lock()
	broken := append([]string(nil), w.broken...)
	w.mu.Unlock()
	if err != nil {
		w.log("the case could not run: %v", err)
	}
	w.close()
	switch {
	case len(broken) > 0:
		fmt.Println(broken[0])
		os.Exit(1)
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	fmt.Println("the rule held")
}
