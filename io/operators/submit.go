package operators

import (
	"slices"

	"go.uber.org/zap"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
)

func (s *Server) getDocument(r request) (any, error) {
	return documentAnswer(r.newest), nil
}

func (s *Server) history(r request) (any, error) {
	h, err := s.cfg.System.History(r.ctx)
	return HistoryAnswer{Documents: convertAll(h, historyEntry)}, err
}

func (s *Server) diff(r request) (any, error) {
	var body DiffRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	cur := r.newest
	_, problems := config.Parse("document", body.Text)
	change := config.Diff(cur.Text, body.Text)
	out := DiffAnswer{
		Version: uint64(cur.Version), Sections: config.SectionNames(change.Sections), Hunks: convertAll(change.Hunks, hunkAnswer),
		Problems: problems,
	}
	for _, sec := range change.Sections {
		if r.document != nil && !r.document.Owns(r.operator, sec) {
			out.NotOwned = append(out.NotOwned, string(sec))
		}
	}
	return out, nil
}

// submit checks a changed document against the one in force and proposes it. The ownership is checked against the base,
// and the control state accepts the document only while that base is in force, so the ownership cannot change between
// the check and the commit.
func (s *Server) submit(r request) (any, error) {
	var body SubmitRequest
	if err := r.decode(&body); err != nil {
		return nil, err
	}
	digest, err := body.digest()
	if err != nil {
		return nil, err
	}
	cur := r.newest
	history, err := s.cfg.System.History(r.ctx)
	if err != nil {
		return nil, err
	}
	base := fleet.DocumentVersion(body.Base)
	if first, ok := findAccepted(history, base, digest); ok {
		return s.propose(r, &control.SubmitDocument{
			Base: base, Digest: digest, Operator: r.operator, Sections: first.Sections,
		}, true)
	}
	switch {
	case base > cur.Version:
		return nil, &Error{
			Code: CodeUnknownBase, Version: uint64(cur.Version),
			Message: "this host does not know the base version; read the document again, or ask a host with a newer version",
		}
	case base < cur.Version:
		return nil, conflictError(uint64(cur.Version), sectionsSince(history, base))
	}
	text, err := body.resultText(cur.Text, digest)
	if err != nil {
		return nil, err
	}
	if base > 0 && text == cur.Text {
		return SubmitAnswer{Version: uint64(cur.Version), Sections: []string{}, Unchanged: true}, nil
	}
	if _, problems := config.Parse("document", text); len(problems) > 0 {
		return nil, problems
	}
	change := config.Diff(cur.Text, text)
	if r.document != nil {
		if err := config.CheckOwner(r.document, r.operator, change.Sections); err != nil {
			return nil, err
		}
	}
	return s.propose(r, &control.SubmitDocument{
		Base: base, Digest: digest, Hunks: change.Hunks, Operator: r.operator, Sections: config.SectionNames(change.Sections),
	}, false)
}

func (s *Server) propose(r request, c *control.SubmitDocument, repeated bool) (any, error) {
	out, err := s.cfg.System.Submit(r.ctx, c)
	if err != nil {
		return nil, err
	}
	if err := out.Result.Err(); err != nil {
		return nil, err
	}
	answer := submitAnswer(out)
	answer.Repeated = repeated
	if !repeated {
		s.cfg.Logger.Info(logAccepted, zap.Uint64("version", answer.Version), zap.String("operator", string(r.operator)),
			zap.Strings("sections", answer.Sections), zap.Strings("expired-hosts", answer.ExpiredHosts))
	}
	return answer, nil
}

// digest returns the digest of the submitted document; it identifies repeated submissions.
func (b *SubmitRequest) digest() (string, error) {
	switch {
	case b.Text != "" && len(b.Hunks) > 0:
		return "", &Error{Code: CodeBadRequest, Message: "the body has both text and hunks; send one of them"}
	case b.Text != "":
		d := control.Digest(b.Text)
		if b.Digest != "" && b.Digest != d {
			return "", &Error{Code: CodeDigestMismatch, Message: "the digest is not that of the text; send the request again"}
		}
		return d, nil
	case b.Digest == "":
		return "", &Error{Code: CodeBadRequest, Message: "the body has no text; send text, or hunks with the digest of the result"}
	default:
		return b.Digest, nil
	}
}

// resultText returns the submitted text, given the text of its base.
func (b *SubmitRequest) resultText(base, digest string) (string, error) {
	if b.Text != "" {
		return b.Text, nil
	}
	text, ok := control.ApplyHunks(base, convertAll(b.Hunks, toHunk))
	if !ok || control.Digest(text) != digest {
		return "", &Error{Code: CodeDigestMismatch, Message: "the hunks do not produce a document with this digest; read the document again and resubmit"}
	}
	return text, nil
}

// findAccepted returns the accepted document with a base and digest, which is the answer to a repeated submission, and whether
// there is one.
func findAccepted(history []control.Document, base fleet.DocumentVersion, digest string) (control.Document, bool) {
	i := slices.IndexFunc(history, func(d control.Document) bool { return d.Base == base && d.Digest == digest })
	if i < 0 {
		return control.Document{}, false
	}
	return history[i], true
}

// sectionsSince returns the sections that changed after a version, sorted. It returns nil if the history does not reach
// back to that version.
func sectionsSince(history []control.Document, v fleet.DocumentVersion) []string {
	if len(history) == 0 || history[0].Version > v+1 {
		return nil
	}
	var out []string
	for _, d := range history {
		if d.Version > v {
			out = append(out, d.Sections...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
