package console

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
)

// draft is an operator's edited copy of the document. It is kept in memory only.
type draft struct {
	// base is the document in force from which the draft was made.
	base *document.Snapshot
	// doc is the edited document. It keeps the version and parent of base; makeReview sets the new ones in a copy.
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
	var copied document.Document
	return &copied, errors.Wrap(json.Unmarshal(raw, &copied), "copy document")
}

// review is the state of a draft as shown to the operator.
type review struct {
	Base        *document.Snapshot
	NextVersion uint64
	Changes     []document.Change
	Problems    []document.Problem
	// Raw is the encoded document to download. It is empty if there are problems.
	Raw  []byte
	Hash string
}

// makeReview sets the version and parent in a copy of the draft and validates it.
func (d *draft) makeReview() (*review, error) {
	changes, err := document.Diff(d.base.Document, d.doc)
	if err != nil {
		return nil, err
	}
	final := *d.doc
	final.Version = d.base.Version + 1
	final.Parent = document.Parent{Version: d.base.Version, Hash: d.base.Hash}
	raw, err := final.Encode()
	if err != nil {
		return nil, err
	}
	r := &review{Base: d.base, NextVersion: final.Version, Changes: changes}
	snap, problems := document.Inspect(raw)
	if len(problems) > 0 {
		r.Problems = problems
		return r, nil
	}
	r.Raw, r.Hash = raw, snap.Hash
	return r, nil
}
