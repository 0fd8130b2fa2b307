package peer

import (
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
)

const (
	// maxNames bounds the name dictionary of one link. A name is a text that
	// recurs in requests; after its first use only its number is sent.
	maxNames = 4096
	// maxNameBytes bounds the length of one name; longer texts are sent in full.
	maxNameBytes = 128
)

// recurringFieldCount is the number of fields that recurringFields returns.
const recurringFieldCount = 6

// recurringFields returns the text fields of a request whose values recur on a
// link: the calling host, the id prefix, the service, the class, the instance
// and the group. Only the id up to its trailing number recurs, so prefix stands
// in for the id.
func recurringFields(r *peerpb.Request, prefix *string) [recurringFieldCount]*string {
	var host *string
	if r.Session != nil {
		host = &r.Session.Host
	} else {
		host = new(string)
	}
	return [recurringFieldCount]*string{host, prefix, &r.Service, &r.Class, &r.Instance, &r.Group}
}

// nameEncoder is the sending side of the name dictionary of a link. It replaces
// recurring texts with numbers, which roughly halves the size of small
// requests. It is not safe for concurrent use and must see frames in the order
// in which they are sent.
type nameEncoder struct{ numbers map[string]uint32 }

// encode replaces the recurring texts of a request frame with numbers and adds
// new names to the frame. Other frames are left unchanged.
func (n *nameEncoder) encode(f *peerpb.Frame) {
	r := f.GetRequest()
	if r == nil {
		return
	}
	cut := strings.LastIndexByte(r.Id, '-') + 1
	prefix := r.Id[:cut]
	r.Id = r.Id[cut:]
	r.Refs = make([]uint32, 0, recurringFieldCount)
	for _, text := range recurringFields(r, &prefix) {
		number, isNew := n.numberOf(*text)
		if isNew {
			f.Names = append(f.Names, *text)
		}
		if number > 0 {
			*text = ""
		}
		r.Refs = append(r.Refs, number)
	}
	r.Id = prefix + r.Id // the prefix is non-empty only if it has no number
}

// numberOf returns the number of a text, and whether the number is new, so that
// the text must be sent to the other end. The number is zero if the text is not
// in the dictionary and cannot be added.
func (n *nameEncoder) numberOf(text string) (number uint32, isNew bool) {
	if number, ok := n.numbers[text]; ok {
		return number, false
	}
	if text == "" || len(text) > maxNameBytes || len(n.numbers) >= maxNames {
		return 0, false
	}
	if n.numbers == nil {
		n.numbers = map[string]uint32{}
	}
	number = uint32(len(n.numbers) + 1)
	n.numbers[text] = number
	return number, true
}

// nameDecoder is the receiving side of the name dictionary of a link.
type nameDecoder struct{ texts []string }

// decode records the new names of a frame and restores the texts of its
// request. After an error no further frame of the link can be decoded.
func (n *nameDecoder) decode(f *peerpb.Frame) error {
	if len(n.texts)+len(f.GetNames()) > maxNames {
		return errkind.New(errkind.TooLarge, "more than %d names on a link", maxNames)
	}
	n.texts = append(n.texts, f.GetNames()...)
	r := f.GetRequest()
	if r == nil || len(r.GetRefs()) == 0 {
		return nil
	}
	var prefix string
	texts := recurringFields(r, &prefix)
	if len(r.GetRefs()) != recurringFieldCount {
		return errkind.New(errkind.BadRequest, "%d numbers of names", len(r.GetRefs()))
	}
	for i, number := range r.GetRefs() {
		switch {
		case number == 0:
		case number > uint32(len(n.texts)):
			return errkind.New(errkind.BadRequest, "name %d is not known", number)
		default:
			*texts[i] = n.texts[number-1]
		}
	}
	r.Id = prefix + r.Id
	r.Refs = nil
	return nil
}
