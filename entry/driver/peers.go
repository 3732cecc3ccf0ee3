package driver

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// peerSendTimeout limits sending one message.
	peerSendTimeout = time.Second
)

// sendPeer queues a message for a peer. Each peer has its own queue and
// goroutine, so that messages stay in order and a slow peer does not delay the
// others.
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

// serveQueue sends the queued messages of one peer in order.
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
	d.opts.Observer.PeerSendFailed(to, err)
	d.Post(kernel.PeerUndelivered{To: to, Message: m})
}
