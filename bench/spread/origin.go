package spread

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/spread"
)

// origin is an in-memory weight store behind a link of limited bandwidth.
type origin struct {
	objects   map[string][]byte
	link      *spread.BandwidthLimiter
	sentBytes atomic.Int64
	// corruptProbability is the probability that Get returns a corrupted body,
	// 0 to 1.
	corruptProbability float64
}

// Put implements platform.ObjectStore. It must not be called at the same time as
// Get.
func (o *origin) Put(_ context.Context, name string, body []byte) error {
	o.objects[name] = body
	return nil
}

// Get implements platform.ObjectStore. It waits for the bandwidth of the origin's
// link and returns the complete object; the range is ignored.
func (o *origin) Get(ctx context.Context, name string, _, _ int64) ([]byte, error) {
	body, ok := o.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	if err := o.link.Wait(ctx, int64(len(body))); err != nil {
		return nil, err
	}
	o.sentBytes.Add(int64(len(body)))
	return maybeCorrupt(body, o.corruptProbability), nil
}

// remoteOrigin is the origin as agents of another region reach it: the data also
// passes the link between the regions.
type remoteOrigin struct {
	*origin
	regionLink       *spread.BandwidthLimiter
	crossRegionBytes *atomic.Int64
}

// Get implements platform.ObjectStore. It also waits for the bandwidth of the link
// between the regions.
func (r *remoteOrigin) Get(ctx context.Context, name string, offset, length int64) ([]byte, error) {
	body, err := r.origin.Get(ctx, name, offset, length)
	if err != nil {
		return nil, err
	}
	r.crossRegionBytes.Add(int64(len(body)))
	return body, r.regionLink.Wait(ctx, int64(len(body)))
}

// maybeCorrupt returns body, or with the given probability a copy in which one
// byte is changed.
func maybeCorrupt(body []byte, probability float64) []byte {
	if len(body) == 0 || rand.Float64() >= probability {
		return body
	}
	corrupted := append([]byte{}, body...)
	corrupted[rand.IntN(len(corrupted))] ^= 0xff
	return corrupted
}
