package placement

import (
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
)

// RegionShare returns the bandwidth that the agent self may use on the link
// between its region and the other regions, in bytes per second; 0 means no
// limit. The declared bandwidth of the link is divided evenly among self and
// those agents of the region to which plan assigns a version. These agents
// together stay within the declared bandwidth, whatever each of them fetches,
// without informing each other about their transfers.
func RegionShare(set *declare.Set, plan *Plan, self core.Instance) int64 {
	region := set.Regions[self.Region]
	if region == nil || region.LinkBytesPerSecond == 0 {
		return 0
	}
	sharingAgents := map[string]bool{self.ID: true}
	for _, agents := range plan.assignedAgents {
		for _, agent := range agents {
			if agent.Region == self.Region {
				sharingAgents[agent.ID] = true
			}
		}
	}
	return max(1, region.LinkBytesPerSecond/int64(len(sharingAgents)))
}
