package driver

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// peerSendTimeout bounds the sending of one message.
	peerSendTimeout = time.Second
)

// sendPeer queues a message to a peer. Each peer has a queue and a goroutine of
// its own, so that messages keep their order and a slow peer holds up no other.
func (d *Driver) sendPeer(s kernel.SendPeer) {
	if d.opts.Peers == nil {
		d.backlog = append(d.backlog, kernel.PeerUndelivered(s))
		return
	}
	queue, ok := d.peers[s.To]
	if !ok {
		queue = make(chan kernel.PeerMessage, d.opts.PeerQueue)
		d.peers[s.To] = queue
		d.workers.Go(func() { d.serveQueue(s.To, queue) })
	}
	select {
	case queue <- s.Message:
	default:
		d.backlog = append(d.backlog, kernel.PeerUndelivered(s))
	}
}

// serveQueue sends the messages of one peer's queue, one by one.
func (d *Driver) serveQueue(to ident.InstanceID, queue chan kernel.PeerMessage) {
	for {
		select {
		case m := <-queue:
			d.sendOne(to, m)
		case <-d.stopped:
			return
		}
	}
}

func (d *Driver) sendOne(to ident.InstanceID, m kernel.PeerMessage) {
	ctx, stop := context.WithTimeout(d.ctx, peerSendTimeout)
	defer stop()
	err := d.opts.Peers.Send(ctx, to, m)
	if err == nil {
		return
	}
	d.opts.Observer.Undelivered(to, err)
	d.Post(kernel.PeerUndelivered{To: to, Message: m})
}
