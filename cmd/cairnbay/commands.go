package main

import (
	"cairnbay/internal/bench/apply"
	"cairnbay/internal/bench/entry"
	"cairnbay/internal/bench/frame"
	"cairnbay/internal/bench/member"
	"cairnbay/internal/bench/owner"
	"cairnbay/internal/bench/pack"
	"cairnbay/internal/bench/place"
	"cairnbay/internal/bench/route"
	"cairnbay/internal/tool/bench"
	"cairnbay/internal/tool/client"
	"cairnbay/internal/tool/demo"
	"cairnbay/internal/tool/report"
	"cairnbay/internal/tool/serve"
	"cairnbay/internal/tool/shell"
	"cairnbay/internal/tool/soak"
)

// commands returns every command of the program.
func commands() []shell.Command {
	all := []shell.Command{
		serve.EntryCommand(),
		serve.NodeCommand(),
		soak.Command(),
		serve.StandinCommand(),
		demo.Command(),
		bench.Command(experiments()),
	}
	all = append(all, report.Commands()...)
	return append(all, client.Commands()...)
}

// experiments returns the experiments of the bench command.
func experiments() []frame.Experiment {
	return []frame.Experiment{
		route.Experiment(),
		place.Experiment(),
		pack.Experiment(),
		apply.Experiment(),
		member.Experiment(),
		owner.Takeover(),
		owner.Journal(),
		owner.Control(),
		entry.Experiment(),
	}
}
