package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/standin/sql"
)

// preparedStatement is a parsed statement. The statement is nil if the query
// was empty.
type preparedStatement struct {
	statement *sql.Statement
	types     []uint32
}

// portal is a prepared statement with its parameters.
type portal struct {
	prepared *preparedStatement
	args     []string
	formats  []int16
	result   *result // once it runs
}

// extended answers one message of the extended query protocol.
func (s *session) extended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.be.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return errProtocol
}

var typeOIDs = map[sql.Type]uint32{sql.Text: oidText, sql.Integer: oidInt8, sql.Float: oidFloat8}

func (s *session) parse(m *pgproto3.Parse) error {
	if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
		return errDuplicatePrep
	}
	statements, err := sql.Parse(m.Query)
	if err != nil {
		return newError("42601", err.Error())
	}
	p := &preparedStatement{}
	switch len(statements) {
	case 0:
	case 1:
		p.statement = statements[0]
		for _, t := range p.statement.Params {
			p.types = append(p.types, typeOIDs[t])
		}
	default:
		return newError("42601", "cannot insert multiple commands into a prepared statement")
	}
	for i, oid := range m.ParameterOIDs {
		if i < len(p.types) && oid != 0 {
			p.types[i] = oid
		}
	}
	s.prepared[m.Name] = p
	s.be.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.prepared[m.PreparedStatement]
	if p == nil {
		return errNoStatement
	}
	if len(m.Parameters) != len(p.types) {
		return errProtocol
	}
	o := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, value := range m.Parameters {
		arg, err := decodeValue(value, p.types[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		o.args = append(o.args, arg)
	}
	s.portals[m.DestinationPortal] = o
	s.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var p *preparedStatement
	var formats []int16
	if m.ObjectType == 'S' {
		if p = s.prepared[m.Name]; p == nil {
			return errNoStatement
		}
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
	} else {
		o := s.portals[m.Name]
		if o == nil {
			return errNoPortal
		}
		p, formats = o.prepared, o.formats
	}
	if p.statement == nil || columnsOf(p.statement) == nil {
		s.be.Send(&pgproto3.NoData{})
		return nil
	}
	s.be.Send(describe(columnsOf(p.statement), formats))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	o := s.portals[m.Portal]
	if o == nil {
		return errNoPortal
	}
	if o.prepared.statement == nil {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if o.result == nil {
		res, err := s.run(o.prepared.statement, o.args)
		if err != nil {
			return err
		}
		o.result = res
	}
	o.result.send(s.be, o.formats, m.MaxRows)
	return nil
}

// sync ends the implicit transaction. As in PostgreSQL, an error of its
// commit follows the CommandComplete of its statements.
func (s *session) sync() error {
	s.skip = false
	if err := s.endImplicit(); err != nil {
		if s.over(err) {
			return err
		}
		s.fail(err)
	}
	if s.tx == nil {
		clear(s.portals)
	}
	return s.ready()
}
