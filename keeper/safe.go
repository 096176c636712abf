package keeper

import root "sapphiredrum.example/sapphiredrum"

// IsSafe reports whether a record of a tree under the given owner is safe.
func (s *Shelf) IsSafe(id root.ProgramID, epoch root.Epoch, number uint64) bool {
	h, t := s.tree(id)
	return t != nil && h.epoch == epoch && t.safe >= number
}
