package orders

import (
	"context"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// drain is a wait for the calls of one version to end. err is set before done
// is closed.
type drain struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// drainAndUnload drains the loaded version l and, once the drain is complete,
// orders the engine to unload l. It never waits for the drain, because it is called
// again on every pass. It reports whether the engine accepted the order. Running
// calls of the version are not interrupted.
func (c *Controller) drainAndUnload(ctx context.Context, in *passInput, l frame.Loaded) bool {
	d, ok := c.drains[l.Digest]
	if !ok {
		d = c.startDrain(ctx, l.Digest)
		c.drains[l.Digest] = d
	}
	select {
	case <-d.done:
	default:
		c.recordWait(l.Digest, "running calls")
		return false
	}
	if d.err != nil {
		c.cancelDrain(l.Digest)
		return false
	}
	c.sendOrder(ctx, in, actionUnload, l)
	return c.pending != nil
}

// startDrain stops new calls of a version and waits in the background until the
// running calls have ended.
func (c *Controller) startDrain(ctx context.Context, version core.Digest) *drain {
	ctx, cancel := context.WithCancel(ctx)
	d := &drain{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		d.err = c.drainer.Drain(ctx, version)
		c.wakeRun()
	}()
	return d
}

// cancelDrain stops the drain of a version and admits new calls of it again.
func (c *Controller) cancelDrain(version core.Digest) {
	d := c.drains[version]
	delete(c.drains, version)
	d.cancel()
	<-d.done
	c.drainer.Resume(version)
}
