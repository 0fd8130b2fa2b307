package stmt

import (
	"encoding/binary"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// AppendUnit appends the encoding of u between hosts.
func AppendUnit(dst []byte, u *Unit) []byte {
	dst = append(dst, byte(u.Opens), flag(u.Writes))
	return appendStatement(dst, &u.Statement)
}

// ParseUnit reads what AppendUnit wrote.
func ParseUnit(src []byte) (Unit, error) {
	p := parser{rest: src}
	u := Unit{Opens: p.kind(), Writes: p.flag()}
	u.Statement = p.statement()
	return u, p.end()
}

// AppendPrepared appends the encoding of what a prepared name stands for.
func AppendPrepared(dst []byte, shape string, writes bool) []byte {
	return appendText(append(dst, flag(writes)), shape)
}

// ParsePrepared reads what AppendPrepared wrote.
func ParsePrepared(src []byte) (shape string, writes bool, err error) {
	p := parser{rest: src}
	writes = p.flag()
	shape = p.text()
	return shape, writes, p.end()
}

// AppendAnswer appends the encoding of what a caller is given of a: not the
// state and the mark, which travel beside it.
func AppendAnswer(dst []byte, a *Answer) []byte {
	dst = append(dst, byte(a.Code))
	dst = appendText(dst, a.Text)
	dst = appendText(dst, a.Signature)
	dst = binary.AppendUvarint(dst, uint64(len(a.Rows)))
	for _, row := range a.Rows {
		dst = appendText(dst, row)
	}
	return dst
}

// ParseAnswer reads what AppendAnswer wrote.
func ParseAnswer(src []byte) (Answer, error) {
	p := parser{rest: src}
	a := Answer{Code: p.code(), Text: p.text(), Signature: p.text()}
	rows := p.number()
	if rows > uint64(len(p.rest)) {
		p.failed = true
	}
	for n := uint64(0); n < rows && !p.failed; n++ {
		a.Rows = append(a.Rows, p.text())
	}
	return a, p.end()
}

func appendStatement(dst []byte, s *Statement) []byte {
	dst = append(dst, byte(s.Kind), flag(s.Writes))
	dst = binary.AppendUvarint(dst, uint64(s.Term))
	for _, text := range []string{s.ID, s.Text, s.Name, s.Value} {
		dst = appendText(dst, text)
	}
	return dst
}

func appendText(dst []byte, text string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(text))), text...)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// parser reads the parts of an encoding. After a part that cannot be read,
// every further part is empty.
type parser struct {
	rest   []byte
	failed bool
}

func (p *parser) octet() byte {
	if p.failed || len(p.rest) == 0 {
		p.failed = true
		return 0
	}
	b := p.rest[0]
	p.rest = p.rest[1:]
	return b
}

func (p *parser) kind() Kind {
	k := Kind(p.octet())
	p.failed = p.failed || k >= kindCount
	return k
}

func (p *parser) code() Code {
	c := Code(p.octet())
	p.failed = p.failed || c >= codeCount
	return c
}

func (p *parser) flag() bool {
	b := p.octet()
	p.failed = p.failed || b > 1
	return b == 1
}

func (p *parser) number() uint64 {
	if p.failed {
		return 0
	}
	v, n := binary.Uvarint(p.rest)
	if n <= 0 {
		p.failed = true
		return 0
	}
	p.rest = p.rest[n:]
	return v
}

func (p *parser) text() string {
	n := p.number()
	if p.failed || n > uint64(len(p.rest)) {
		p.failed = true
		return ""
	}
	text := string(p.rest[:n])
	p.rest = p.rest[n:]
	return text
}

func (p *parser) statement() Statement {
	s := Statement{Kind: p.kind(), Writes: p.flag(), Term: table.Term(p.number())}
	s.ID, s.Text, s.Name, s.Value = p.text(), p.text(), p.text(), p.text()
	return s
}

func (p *parser) end() error {
	if p.failed || len(p.rest) > 0 {
		return errkind.New(errkind.BadRequest, "the unit of another host cannot be read")
	}
	return nil
}
