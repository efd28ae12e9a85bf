package stand

import (
	"fmt"
	"sort"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/tool/near"
)

// Pool is the workers of one class.
type Pool struct {
	Class    string
	Workers  int
	PerRack  int
	Capacity cairnbay.Resources
}

// Service is the runners of one service.
type Service struct {
	Name    string
	Runners int
}

// Layout is what the platform holds; workers and runners are spread evenly
// over the data centres.
type Layout struct {
	DataCentres []string
	Pools       []Pool
	Services    []Service
	// Slots and Connections bound each runner.
	Slots       int
	Connections int
}

// Bounds of a runner.
const (
	runnerSlots       = 8
	runnerConnections = 64
)

// Vihmavesi is the platform of Vihmavesi Paigaldus at today's size.
func Vihmavesi() Layout {
	return Layout{
		DataCentres: []string{"tallinn-a", "tallinn-b", "maardu"},
		Pools: []Pool{
			{Class: "quoting", Workers: 35, PerRack: 5, Capacity: machine(32, 128, 0)},
			{Class: "survey", Workers: 13, PerRack: 3, Capacity: machine(64, 256, 8)},
		},
		Services:    []Service{{Name: "quoting", Runners: 35}, {Name: "survey", Runners: 13}},
		Slots:       runnerSlots,
		Connections: runnerConnections,
	}
}

// Cascade is the platform of Cascade Fiduciary at today's size.
func Cascade() Layout {
	return Layout{
		DataCentres: []string{"sea-hall", "pdx-hall", "spk-hall"},
		Pools: []Pool{
			{Class: "docket", Workers: 35, PerRack: 5, Capacity: machine(16, 64, 0)},
			{Class: "exhibits", Workers: 13, PerRack: 3, Capacity: machine(32, 64, 8)},
		},
		Services:    []Service{{Name: "docket", Runners: 35}, {Name: "exhibits", Runners: 13}},
		Slots:       runnerSlots,
		Connections: runnerConnections,
	}
}

// machine returns resources from cores, gigabytes and accelerators.
func machine(cores, gigabytes, accelerators int64) cairnbay.Resources {
	const (
		milliPerCore = 1000
		mbPerGB      = 1024
	)
	return cairnbay.Resources{MilliCPU: cores * milliPerCore, MemoryMB: gigabytes * mbPerGB, Accelerators: accelerators}
}

var layouts = map[string]func() Layout{"vihmavesi": Vihmavesi, "cascade": Cascade}

// LayoutNames lists the layouts that FindLayout knows.
func LayoutNames() []string {
	names := make([]string, 0, len(layouts))
	for name := range layouts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// FindLayout returns a layout by its name. Errors: ErrInvalid.
func FindLayout(name string) (Layout, error) {
	layout, ok := layouts[name]
	if !ok {
		return Layout{}, errors.Annotatef(cairnbay.ErrInvalid, "layout %q is none of %s%s",
			name, strings.Join(LayoutNames(), ", "), near.Hint(name, LayoutNames(), ""))
	}
	return layout(), nil
}

// spot is where the index-th of a kind stands.
type spot struct {
	id         string
	dataCentre string
	rack       string
}

// spot spreads instances over data centres in turn, and fills rack after rack
// within each.
func (l Layout) spot(prefix string, index, perRack int) spot {
	dataCentre := l.DataCentres[index%len(l.DataCentres)]
	within := index / len(l.DataCentres)
	return spot{
		id:         fmt.Sprintf("%s-%s-%02d", dataCentre, prefix, within),
		dataCentre: dataCentre,
		rack:       fmt.Sprintf("%s-%s-rack-%d", dataCentre, prefix, within/max(perRack, 1)),
	}
}
