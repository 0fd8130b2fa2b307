package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/standin/sql"
)

// preparedStatement is a parsed statement with the OIDs of its parameters. The
// statement is nil if the query was empty.
type preparedStatement struct {
	statement *sql.Statement
	types     []uint32
}

// portal is a prepared statement with the values of its parameters and the format
// codes of its result columns.
type portal struct {
	prepared *preparedStatement
	args     []string
	formats  []int16
	result   *result // set by the first Execute
}

// extended handles one message of the extended query protocol. It returns
// errProtocol for any other message.
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
		return errDuplicateStatement
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
	pt := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, value := range m.Parameters {
		arg, err := decodeValue(value, p.types[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		pt.args = append(pt.args, arg)
	}
	s.portals[m.DestinationPortal] = pt
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
		pt := s.portals[m.Name]
		if pt == nil {
			return errNoPortal
		}
		p, formats = pt.prepared, pt.formats
	}
	if p.statement == nil || columnsOf(p.statement) == nil {
		s.be.Send(&pgproto3.NoData{})
		return nil
	}
	s.be.Send(describe(columnsOf(p.statement), formats))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	pt := s.portals[m.Portal]
	if pt == nil {
		return errNoPortal
	}
	if pt.prepared.statement == nil {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if pt.result == nil {
		res, err := s.run(pt.prepared.statement, pt.args)
		if err != nil {
			return err
		}
		pt.result = res
	}
	pt.result.send(s.be, pt.formats, m.MaxRows)
	return nil
}

// sync commits the implicit transaction. As in PostgreSQL, an error of this commit
// follows the CommandComplete of the statements.
func (s *session) sync() error {
	s.skipToSync = false
	if err := s.endImplicit(); err != nil {
		if s.endsSession(err) {
			return err
		}
		s.fail(err)
	}
	if s.tx == nil {
		clear(s.portals)
	}
	return s.sendReady()
}
