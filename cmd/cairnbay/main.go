// Command cairnbay is a cluster scheduler; see README.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cairnbay/internal/tool/shell"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	streams := shell.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}
	code := shell.New(streams, commands()...).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
