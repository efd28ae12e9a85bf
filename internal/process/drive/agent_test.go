package drive_test

import (
	"context"
	"sync/atomic"
	"time"

	"cairnbay"
	"cairnbay/internal/fake/agent"
)

// faultyAgent loses the answers to the next lostStarts starts, which the worker
// executes, and delays each Hold call by holdDelay nanoseconds.
type faultyAgent struct {
	*agent.Fleet
	lostStarts atomic.Int32
	holdDelay  atomic.Int64
}

func (a *faultyAgent) Hold(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentHold) (cairnbay.AgentState, error) {
	time.Sleep(time.Duration(a.holdDelay.Load()))
	return a.Fleet.Hold(ctx, target, order)
}

func (a *faultyAgent) Start(ctx context.Context, target cairnbay.AgentTarget, order cairnbay.AgentStart) (time.Duration, error) {
	clock, err := a.Fleet.Start(ctx, target, order)
	if a.lostStarts.Add(-1) < 0 {
		return clock, err
	}
	<-ctx.Done()
	return 0, cairnbay.ErrUnknown
}
