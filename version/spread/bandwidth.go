package spread

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxBytesPerWait is the maximum number of bytes transferred between two
	// waits for a bandwidth limit.
	maxBytesPerWait = 16 << 10
	// burstTime determines the burst size, the number of bytes that may be
	// transferred at once: it is the rate of the limit multiplied by burstTime.
	burstTime = 20 * time.Millisecond
)

// BandwidthLimiter is a token bucket that limits the bandwidth of one network link.
// A nil BandwidthLimiter has no limit. Concurrent transfers that use the same
// BandwidthLimiter share its bandwidth.
type BandwidthLimiter struct {
	limiter *rate.Limiter
}

// NewBandwidthLimiter returns a limiter with a rate of bytesPerSecond. It returns
// nil, which means no limit, if bytesPerSecond is 0 or less.
func NewBandwidthLimiter(bytesPerSecond int64) *BandwidthLimiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	burst := max(maxBytesPerWait, int(float64(bytesPerSecond)*burstTime.Seconds()))
	return &BandwidthLimiter{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
}

// Wait blocks until n bytes may be transferred, or ctx ends.
func (l *BandwidthLimiter) Wait(ctx context.Context, n int64) error {
	if l == nil {
		return ctx.Err()
	}
	for n > 0 {
		part := min(n, maxBytesPerWait)
		if err := l.limiter.WaitN(ctx, int(part)); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// sendLimited writes body to w at no more than the rate of limiter, and returns
// the number of bytes written. Each write has at most maxBytesPerWait bytes. If a
// write takes longer than stallTimeout, sendLimited returns an error.
func sendLimited(ctx context.Context, w http.ResponseWriter, body []byte, limiter *BandwidthLimiter, stallTimeout time.Duration) (int, error) {
	control := http.NewResponseController(w)
	sent := 0
	for sent < len(body) {
		part := body[sent:min(len(body), sent+maxBytesPerWait)]
		if err := limiter.Wait(ctx, int64(len(part))); err != nil {
			return sent, err
		}
		if err := control.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return sent, err
		}
		n, err := w.Write(part)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, control.SetWriteDeadline(time.Time{})
}
