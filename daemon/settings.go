package daemon

import (
	"time"

	"github.com/rattanway/rattanway/core"
)

// CommonConfig holds the settings that both daemons share.
type CommonConfig struct {
	// Self describes this instance, with the address at which other instances
	// reach it.
	Self core.Instance
	// Listen is the "ip:port" to listen on.
	Listen string
	// PeerToken authenticates the processes of this system to each other.
	PeerToken string
	// PlatformAddr is the platform's "ip:port".
	PlatformAddr string
	// PlatformToken authenticates this process to the platform.
	PlatformToken string
	// Seeds are the entry instances that are used until the list of instances has
	// been read.
	Seeds []core.Instance
	// ListInterval is the time between two reads of the instance list.
	ListInterval time.Duration
	// HeartbeatInterval is the longest time between two reports of an agent to
	// an entry instance while there are few agents. With many agents,
	// homes.HeartbeatInterval computes a longer time.
	HeartbeatInterval time.Duration
	// DrainTimeout limits the wait for calls in flight when the process stops.
	DrainTimeout time.Duration
}
