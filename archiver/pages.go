package archiver

import (
	"context"

	"github.com/joomcode/errorx"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/reserver"
)

const (
	// pageMemory is what the largest page takes while it is read: a megabyte of rows in base64, in
	// a buffer that grows by doubling, and decoded.
	pageMemory = reserver.MessageFactor * 1400 << 10
	// pagePause is the pause between two looks for room, a few times the store's usual latency.
	pagePause = 20 * sd.Millisecond
)

// pages reads the pages of one program within the memory of the host.
type pages struct {
	archive *Archive
	holder  *reserver.Holder
}

func (a *Archive) newPages() *pages {
	p := &pages{archive: a}
	p.open()
	return p
}

func (p *pages) open() {
	p.holder, _ = p.archive.settings.Budget.Open(reserver.Group{Kind: reserver.Histories})
}

func (p *pages) close() { p.holder.Close() }

// list returns a page. If there is no room for it, it waits for that as long as ctx lasts, one
// program at a time; then the error is Exhausted.
func (p *pages) list(ctx context.Context, part, from, to string) (sd.Page, error) {
	page, err := p.archive.store.List(reserver.WithHolder(ctx, p.holder), TablePrograms, part, from, to)
	if !errorx.IsOfType(err, reserver.Exhausted) {
		return page, err
	}
	if p.processed(); !p.awaitRoom(ctx) {
		return page, err
	}
	return p.archive.store.List(ctx, TablePrograms, part, from, to)
}

// awaitRoom reserves the memory of a whole page. It returns false if ctx ends before there is room.
func (p *pages) awaitRoom(ctx context.Context) bool {
	select {
	case p.archive.pageTurn <- struct{}{}:
		defer func() { <-p.archive.pageTurn }()
	case <-ctx.Done():
		return false
	}
	for !p.holder.Reserve(pageMemory) {
		if !sleep(ctx, pagePause) {
			return false
		}
	}
	return true
}

// processed gives the memory of a page back.
func (p *pages) processed() {
	p.holder.Close()
	p.open()
}
