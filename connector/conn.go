package connector

import (
	"net"
	"sync"
)

// sealable is a connection that counts the bytes handed to it and can be closed
// for writing. Its mutex is held only for the count, never during a write.
type sealable struct {
	net.Conn
	mutex  sync.Mutex
	handed uint64
	sealed bool
}

// Write hands bytes to the connection unless it is sealed.
func (s *sealable) Write(data []byte) (int, error) {
	s.mutex.Lock()
	if s.sealed {
		s.mutex.Unlock()
		return 0, net.ErrClosed
	}
	s.handed += uint64(len(data))
	s.mutex.Unlock()
	return s.Conn.Write(data)
}

// total returns the bytes handed over so far.
func (s *sealable) total() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.handed
}

// seal refuses all further writes and returns the bytes handed over before.
func (s *sealable) seal() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sealed = true
	return s.handed
}
