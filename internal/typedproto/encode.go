package typedproto

import (
	"encoding/binary"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wire"
)

// AppendUnit appends the encoding of u that hosts exchange.
func AppendUnit(dst []byte, u *Unit) []byte {
	dst = append(dst, byte(u.Opens), wire.EncodeFlag(u.Writes))
	return appendStatement(dst, &u.Statement)
}

// ParseUnit decodes a unit encoded by AppendUnit. src must contain nothing else.
func ParseUnit(src []byte) (Unit, error) {
	p := newParser(src)
	u := Unit{Opens: p.kind(), Writes: p.Flag()}
	u.Statement = p.statement()
	return u, p.finish()
}

// AppendPrepared appends the encoding of a prepared statement's shape and whether
// it writes.
func AppendPrepared(dst []byte, shape string, writes bool) []byte {
	return wire.AppendBytes(append(dst, wire.EncodeFlag(writes)), shape)
}

// ParsePrepared decodes a prepared statement encoded by AppendPrepared.
func ParsePrepared(src []byte) (shape string, writes bool, err error) {
	p := newParser(src)
	writes = p.Flag()
	shape = p.Text()
	return shape, writes, p.finish()
}

// AppendAnswer appends the encoding of the part of a that callers receive. The
// transaction status and the mark are sent separately.
func AppendAnswer(dst []byte, a *Answer) []byte {
	dst = append(dst, byte(a.Code))
	dst = wire.AppendBytes(dst, a.Text)
	dst = wire.AppendBytes(dst, a.Signature)
	dst = binary.AppendUvarint(dst, uint64(len(a.Rows)))
	for _, row := range a.Rows {
		dst = wire.AppendBytes(dst, row)
	}
	return dst
}

// ParseAnswer decodes an answer encoded by AppendAnswer.
func ParseAnswer(src []byte) (Answer, error) {
	p := newParser(src)
	a := Answer{Code: p.code(), Text: p.Text(), Signature: p.Text()}
	rows := p.Uvarint()
	if rows > uint64(len(p.Rest)) { // each row takes at least one byte
		p.Bad = true
	}
	for n := uint64(0); n < rows && !p.Bad; n++ {
		a.Rows = append(a.Rows, p.Text())
	}
	return a, p.finish()
}

func appendStatement(dst []byte, s *Statement) []byte {
	dst = append(dst, byte(s.Kind), wire.EncodeFlag(s.Writes))
	dst = binary.AppendUvarint(dst, uint64(s.Term))
	for _, text := range []string{s.ID, s.Text, s.Name, s.Value} {
		dst = wire.AppendBytes(dst, text)
	}
	return dst
}

// parser decodes the fields of units and answers.
type parser struct{ wire.Reader }

func newParser(src []byte) parser { return parser{wire.Reader{Rest: src}} }

func (p *parser) kind() Kind {
	k := Kind(p.Byte())
	p.Bad = p.Bad || k >= kindCount
	return k
}

func (p *parser) code() Code {
	c := Code(p.Byte())
	p.Bad = p.Bad || c >= codeCount
	return c
}

func (p *parser) statement() Statement {
	s := Statement{Kind: p.kind(), Writes: p.Flag(), Term: table.Term(p.Uvarint())}
	s.ID, s.Text, s.Name, s.Value = p.Text(), p.Text(), p.Text(), p.Text()
	return s
}

// finish returns an error if a field was invalid or input is left over.
func (p *parser) finish() error {
	if !p.Done() {
		return errkind.New(errkind.BadRequest, "the unit of another host cannot be read")
	}
	return nil
}
