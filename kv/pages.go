package kv

import (
	"context"

	"ospreystile.example/ospreystile/ids"
)

// Page holds a page of a list. More reports whether another page follows. Revision is the revision of the
// store at which the page was read.
type Page struct {
	Entries  []Entry      `msgpack:"entries"`
	More     bool         `msgpack:"hasNext"`
	Revision ids.Revision `msgpack:"epoch"`
}

// PageStore reads pages of lists. Client implements it.
type PageStore interface {
	ListPage(ctx context.Context, prefix, after string) (Page, error)
}

// Pages reads a list page by page. After an error the next call reads the same page again, so a long list
// is completed however often reads fail in between. It is not safe for concurrent use.
type Pages struct {
	store         PageStore
	prefix        string
	lastKey       string
	firstRevision ids.Revision
	complete      bool
}

// NewPages returns the pages of the entries whose keys have a prefix.
func NewPages(store PageStore, prefix string) *Pages { return &Pages{store: store, prefix: prefix} }

// Next returns the next page. It returns the store's errors.
func (p *Pages) Next(ctx context.Context) (Page, error) {
	page, err := p.store.ListPage(ctx, p.prefix, p.lastKey)
	if err != nil {
		return Page{}, err
	}
	if p.firstRevision == 0 {
		p.firstRevision = page.Revision
	}
	if len(page.Entries) > 0 {
		p.lastKey = page.Entries[len(page.Entries)-1].Key
	}
	p.complete = !page.More || len(page.Entries) == 0
	return page, nil
}

// Complete reports whether all pages have been read.
func (p *Pages) Complete() bool { return p.complete }

// LastKey returns the key up to which all entries have been read, or "" before the first page.
func (p *Pages) LastKey() string { return p.lastKey }

// FirstRevision returns the revision of the first page, so that a watch from there misses no change of any
// page. It is 0 before the first page.
func (p *Pages) FirstRevision() ids.Revision { return p.firstRevision }
