package peering

import (
	"fmt"
	"sync"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// UnknownPeerError reports that no address is known for an instance.
type UnknownPeerError struct{ Instance ident.InstanceID }

// Error implements error.
func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("no address is known for instance %q", e.Instance)
}

// AddressBook holds the addresses of the other instances: those of the settings
// and those of the agent's newest view. It is safe for concurrent use.
type AddressBook struct {
	settings map[ident.InstanceID]string

	mu   sync.RWMutex
	view map[ident.InstanceID]string
}

// NewAddressBook returns an AddressBook with the addresses of the settings.
func NewAddressBook(settings map[ident.InstanceID]string) *AddressBook {
	return &AddressBook{settings: settings}
}

// Replace replaces the addresses of the previous view.
func (b *AddressBook) Replace(view map[ident.InstanceID]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = view
}

// Address returns the address at which an instance accepts calls. The view takes
// precedence over the settings. The error is an *UnknownPeerError.
func (b *AddressBook) Address(id ident.InstanceID) (string, error) {
	b.mu.RLock()
	addr, ok := b.view[id]
	b.mu.RUnlock()
	if ok && addr != "" {
		return addr, nil
	}
	if addr, ok := b.settings[id]; ok {
		return addr, nil
	}
	return "", &UnknownPeerError{Instance: id}
}

// Known reports whether the instance is listed in the view or the settings and is
// therefore accepted as a peer.
func (b *AddressBook) Known(id peer.Identity) bool {
	b.mu.RLock()
	_, inView := b.view[id.Instance]
	b.mu.RUnlock()
	_, inSettings := b.settings[id.Instance]
	return inView || inSettings
}
