package deploy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is how long a process may take to exit after SIGTERM. It is above the
// shutdown timeout of a host.
const stopTimeout = 40 * time.Second

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{} // closed when the process has exited
	err  error         // the result of Wait, valid once done is closed
}

// startProcess starts a program whose output goes to the file NAME.log in the
// folder logs.
func startProcess(logs, name, program string, args ...string) (*process, error) {
	file, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(program, args...), log: file, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// ended reports whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() error {
	err := p.cmd.Process.Kill()
	<-p.done
	return err
}

// stop sends SIGTERM and waits until the process has exited. After stopTimeout it
// kills the process and returns an error.
func (p *process) stop() error {
	defer p.log.Close()
	if p.ended() {
		return nil
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		return errors.Join(fmt.Errorf("%s did not stop within %v", p.name, stopTimeout), p.kill())
	}
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// freeAddresses returns n loopback addresses: with consecutive ports from base on,
// or with ports that are free now if base is 0.
func freeAddresses(n, base int) ([]string, error) {
	var addresses []string
	for i := range n {
		port := 0
		if base > 0 {
			port = base + i
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
