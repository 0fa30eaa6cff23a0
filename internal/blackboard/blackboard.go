// Package blackboard holds the shared state of the daemon in typed sections. Each section has one writer and any number of
// readers; a reader receives an immutable snapshot without acquiring a lock.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section is one part of the blackboard. The zero value holds the zero value of T.
type Section[T any] struct {
	value   atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// Read returns the current value, which the reader must not modify. It is never nil.
func (s *Section[T]) Read() *T {
	if v := s.value.Load(); v != nil {
		return v
	}
	return new(T)
}

// Write replaces the value. The writer must not modify v afterwards.
func (s *Section[T]) Write(v *T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value.Store(v)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed at the next write. Call it before Read, so that no write is missed.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Board is the blackboard of one daemon.
type Board struct {
	// Config is written by package installer.
	Config Section[Config]
	// Members is written by package gossiper.
	Members Section[Members]
	// Replicas is written by package gossiper.
	Replicas Section[Replicas]
	// Leases is written by package leaser.
	Leases Section[Leases]
	// Moves is written by package mover.
	Moves Section[Moves]
	// Quarantine is written by package gossiper.
	Quarantine Section[Quarantine]
	// Lifecycle is written by package drainer.
	Lifecycle Section[Lifecycle]
}
