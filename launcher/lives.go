package launcher

import (
	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/keeper"
	"sapphiredrum.example/sapphiredrum/sweeper"
)

// lives answers guards' questions about the programs that this host keeps.
type lives struct {
	host *Host
}

// Lives tells which programs of a held and restored shard live. What it says
// counts under the epoch read before, so a shard that moves meanwhile is noticed.
func (l lives) Lives(shard sd.ShardID, programs []sd.ProgramID) (sd.Epoch, []sweeper.Life) {
	epoch, held := l.host.leaser.Holds(shard)
	if !held || !l.host.performer.Keeps(shard) {
		return 0, nil
	}
	answers := make([]sweeper.Life, len(programs))
	for i, program := range programs {
		switch l.host.performer.Living(program) {
		case keeper.Living:
			answers[i] = sweeper.Living
		case keeper.Gone:
			answers[i] = sweeper.Gone
		}
	}
	return epoch, answers
}

// newest returns the epoch of a shard's owner as this host last scanned it.
func (h *Host) newest(shard sd.ShardID) (sd.Epoch, bool) {
	owner, found := h.leaser.Owner(shard)
	return owner.Epoch, found
}
