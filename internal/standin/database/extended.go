package database

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// extended processes a message of the extended protocol other than Sync.
func (c *session) extended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		commands := split(m.Query)
		if len(commands) > 1 {
			return failure("parse", codeSyntax, "cannot insert multiple commands into a prepared statement")
		}
		c.statements[m.Name] = commands
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			return c.describeStatement(m.Name)
		}
		return c.describePortal(m.Name)
	case *pgproto3.Execute:
		return c.executePortal(m.Portal)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
	default:
		return failure("protocol", codeProtocol, "unsupported message %T", message)
	}
	return nil
}

func (c *session) bind(m *pgproto3.Bind) error {
	commands, ok := c.statements[m.PreparedStatement]
	if !ok {
		return failure("bind", codeNoStatement, "no prepared statement %q", m.PreparedStatement)
	}
	for _, formats := range [][]int16{m.ParameterFormatCodes, m.ResultFormatCodes} {
		for _, format := range formats {
			if format != pgproto3.TextFormat {
				return failure("bind", codeUnsupported, "only the text format is supported")
			}
		}
	}
	p := &portal{commands: commands, arguments: make([]*string, len(m.Parameters))}
	for i, value := range m.Parameters {
		if value != nil {
			s := string(value)
			p.arguments[i] = &s
		}
	}
	c.portals[m.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) portal(name string) (*portal, error) {
	p, ok := c.portals[name]
	if !ok {
		return nil, failure("portal", codeNoStatement, "no portal %q", name)
	}
	if p.done || len(p.commands) == 0 {
		return p, nil
	}
	p.done = true
	var err error
	p.result, p.tag, err = c.execute(p.commands[0], p.arguments)
	return p, err
}

func (c *session) describePortal(name string) error {
	p, err := c.portal(name)
	if err != nil {
		return err
	}
	if len(p.result.columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.backend.Send(rowDescription(p.result.columns))
	return nil
}

func (c *session) executePortal(name string) error {
	p, err := c.portal(name)
	if err != nil {
		return err
	}
	delete(c.portals, name)
	if len(p.commands) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	c.sendRows(p.result, p.tag)
	return nil
}

// describeStatement describes reads by running them with NULL arguments on the organisation's committed state. Other
// statements are described as returning no rows.
func (c *session) describeStatement(name string) error {
	commands, ok := c.statements[name]
	if !ok {
		return failure("describe", codeNoStatement, "no prepared statement %q", name)
	}
	parameters := 0
	var columns []string
	if len(commands) == 1 {
		parameters = commands[0].parameters()
		if commands[0].class == classRead {
			store, _, err := c.server.organisation(c.organisation)
			if err != nil {
				return err
			}
			r, err := query(store.readers, commands[0], make([]*string, parameters))
			if err != nil {
				return err
			}
			columns = r.columns
		}
	}
	c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, parameters)})
	if len(columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.backend.Send(rowDescription(columns))
	return nil
}
