package peer

import (
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer/peerpb"
)

const (
	// maxNames bounds the names of one link.
	maxNames = 4096
	// maxNameBytes bounds one name; a longer text is sent as it is.
	maxNameBytes = 128
)

// recurringTexts is how many texts of a request recur.
const recurringTexts = 6

// recurring returns the texts of a request that recur on a link: those of its
// host, its service and the instance that it is for. Of its id only the part up
// to the number recurs, which prefix takes in place of the text.
func recurring(r *peerpb.Request, prefix *string) [recurringTexts]*string {
	var host *string
	if r.Session != nil {
		host = &r.Session.Host
	} else {
		host = new(string)
	}
	return [recurringTexts]*string{host, prefix, &r.Service, &r.Class, &r.Instance, &r.Group}
}

// nameSender replaces the texts that recur on a link by numbers, which makes
// requests half as long. It is used by one goroutine at a time, in the order in
// which frames are sent.
type nameSender struct{ numbers map[string]uint32 }

// shorten replaces the texts of a request.
func (n *nameSender) shorten(f *peerpb.Frame) {
	r := f.GetRequest()
	if r == nil {
		return
	}
	cut := strings.LastIndexByte(r.Id, '-') + 1
	prefix := r.Id[:cut]
	r.Id = r.Id[cut:]
	r.Refs = make([]uint32, 0, recurringTexts)
	for _, text := range recurring(r, &prefix) {
		number, isNew := n.number(*text)
		if isNew {
			f.Names = append(f.Names, *text)
		}
		if number > 0 {
			*text = ""
		}
		r.Refs = append(r.Refs, number)
	}
	r.Id = prefix + r.Id // the prefix is empty unless it got no number
}

// number returns the number of a text, and whether the other end has yet to
// hear of it; zero where it has none.
func (n *nameSender) number(text string) (number uint32, isNew bool) {
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

// nameReceiver is the other end of a nameSender.
type nameReceiver struct{ texts []string }

// restore puts the texts back. After an error the frames that follow cannot be
// understood.
func (n *nameReceiver) restore(f *peerpb.Frame) error {
	if len(n.texts)+len(f.GetNames()) > maxNames {
		return errkind.New(errkind.TooLarge, "more than %d names on a link", maxNames)
	}
	n.texts = append(n.texts, f.GetNames()...)
	r := f.GetRequest()
	if r == nil || len(r.GetRefs()) == 0 {
		return nil
	}
	var prefix string
	texts := recurring(r, &prefix)
	if len(r.GetRefs()) != recurringTexts {
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
