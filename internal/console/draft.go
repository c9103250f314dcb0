package console

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
)

// draft is an operator's work on a document, in memory only.
type draft struct {
	// base is the document in force from which the draft was made.
	base *document.Snapshot
	// doc is the edited document; until it is finished it keeps the version and parent of base.
	doc *document.Document
}

func newDraft(base *document.Snapshot) (*draft, error) {
	doc, err := copyDocument(base.Document)
	if err != nil {
		return nil, err
	}
	return &draft{base: base, doc: doc}, nil
}

func copyDocument(doc *document.Document) (*document.Document, error) {
	raw, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	var made document.Document
	return &made, errors.Wrap(json.Unmarshal(raw, &made), "copy document")
}

// review is what the console shows of a draft.
type review struct {
	Base     *document.Snapshot
	Next     uint64
	Changes  []document.Change
	Problems []document.Problem
	// Raw is the finished document; it is empty while there are problems.
	Raw  []byte
	Hash string
}

// review finishes a copy of the draft and checks it as a router does.
func (d *draft) review() (*review, error) {
	changes, err := document.Diff(d.base.Document, d.doc)
	if err != nil {
		return nil, err
	}
	finished := *d.doc
	finished.Version = d.base.Version + 1
	finished.Parent = document.Parent{Version: d.base.Version, Hash: d.base.Hash}
	raw, err := finished.Encode()
	if err != nil {
		return nil, err
	}
	r := &review{Base: d.base, Next: finished.Version, Changes: changes}
	snap, problems := document.Inspect(raw)
	if len(problems) > 0 {
		r.Problems = problems
		return r, nil
	}
	r.Raw, r.Hash = raw, snap.Hash
	return r, nil
}
