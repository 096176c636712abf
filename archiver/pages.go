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

// programPages reads the pages of one program's rows within the memory of the host.
type programPages struct {
	archive *Archive
	holder  *reserver.Holder
}

// newPages returns a reader of pages, which must be closed.
func (a *Archive) newPages() *programPages {
	p := &programPages{archive: a}
	p.open()
	return p
}

func (p *programPages) open() {
	p.holder, _ = p.archive.settings.Budget.Open(reserver.Group{Kind: reserver.Histories})
}

func (p *programPages) close() { p.holder.Close() }

// list returns a page. Without room for it, it waits in line until ctx ends; then the error is
// Exhausted.
func (p *programPages) list(ctx context.Context, part, from, to string) (sd.Page, error) {
	page, err := p.archive.store.List(reserver.WithHolder(ctx, p.holder), TablePrograms, part, from, to)
	if !errorx.IsOfType(err, reserver.Exhausted) {
		return page, err
	}
	if p.release(); !p.awaitRoom(ctx) {
		return page, err
	}
	return p.archive.store.List(ctx, TablePrograms, part, from, to)
}

// awaitRoom reserves the memory of a whole page. It returns false if ctx ends before there is room.
func (p *programPages) awaitRoom(ctx context.Context) bool {
	select {
	case p.archive.pageQueue <- struct{}{}:
		defer func() { <-p.archive.pageQueue }()
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

// release gives the memory of a page back.
func (p *programPages) release() {
	p.holder.Close()
	p.open()
}
