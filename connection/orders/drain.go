package orders

import (
	"context"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// drain is a running or completed call of Drainer.Drain for one version.
type drain struct {
	cancel context.CancelFunc
	// done is closed when Drainer.Drain has returned.
	done chan struct{}
	// err is the result of Drainer.Drain. It is set before done is closed.
	err error
}

// drainAndUnload drains the loaded version l and, once the drain is complete,
// orders the engine to unload l. While the drain runs, drainAndUnload returns
// false without waiting, and a later pass calls it again. It returns true if
// the engine accepted the order. Running calls of the version are not
// interrupted.
func (c *Controller) drainAndUnload(ctx context.Context, in *passInput, l frame.LoadedVersion) bool {
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

// cancelDrain stops the drain of a version and admits new calls of the version
// again.
func (c *Controller) cancelDrain(version core.Digest) {
	d := c.drains[version]
	delete(c.drains, version)
	d.cancel()
	<-d.done
	c.drainer.Resume(version)
}
