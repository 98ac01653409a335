package daemon

import (
	"tanagercross/internal/request/execution"
	"tanagercross/internal/session/token"
)

// tokens converts between sessions and their signed tokens; it implements execution.Tokens.
type tokens struct{ signer *token.Signer }

// Verify implements execution.Tokens.
func (t tokens) Verify(text string) (execution.Session, error) {
	decoded, err := t.signer.Decode(text)
	if err != nil {
		return execution.Session{}, err
	}
	s := execution.Session{
		Organisation: decoded.Organisation(), ID: decoded.Session(), Configuration: decoded.Configuration(),
		Positions: execution.Positions{},
	}
	for _, p := range decoded.Positions() {
		s.Positions[p.Group] = p.Position
	}
	return s, nil
}

// Issue implements execution.Tokens. A session that has grown past the bounds gets no token; its caller keeps the one
// it has and is told so by the empty text.
func (t tokens) Issue(s execution.Session) string {
	issued := token.New(s.Organisation, s.ID).WithConfiguration(s.Configuration)
	for name, p := range s.Positions {
		issued = issued.WithPosition(name, p)
	}
	text, err := t.signer.Encode(issued)
	if err != nil {
		return ""
	}
	return text
}
