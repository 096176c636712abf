package main_test

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"sapphiredrum.example/sapphiredrum/faker"
	"sapphiredrum.example/sapphiredrum/platform/emulator"
)

// upTo draws a time from least to most, in milliseconds.
func upTo(random *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+random.IntN(most-least)) * time.Millisecond
}

// hostFaults strikes one host at a time.
func (s *soak) hostFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		i := random.IntN(len(s.hosts))
		h, pause := s.hosts[i], upTo(random, 100, 1000)
		signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGHUP}[random.IntN(4)]
		s.tell("h%d: %v", i, signal)
		switch signal {
		case syscall.SIGKILL:
			h.stop(signal)
			time.Sleep(pause)
		case syscall.SIGSTOP:
			h.signal(signal)
			time.Sleep(pause)
			h.signal(syscall.SIGCONT)
		case syscall.SIGTERM:
			h.stop(signal)
		default:
			h.signal(signal)
		}
		// While all hosts are off, none starts before the others.
		s.power.Lock()
		if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
			h.upgrade()
		}
		h.start()
		s.power.Unlock()
		time.Sleep(1500 * time.Millisecond)
	}
}

// targetFaults spoils the answers of targets.
func (s *soak) targetFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		how, luck := emulator.Spoil(1+random.IntN(6)), uint64(random.IntN(1<<30))
		s.tell("targets: spoil %d", how)
		for _, g := range s.targets {
			g.Spoil(func(id string) emulator.Spoil {
				if rand.New(rand.NewPCG(luck, uint64(len(id)*31+int(id[len(id)-1])))).IntN(8) == 0 {
					return how
				}
				return emulator.Sound
			})
		}
		time.Sleep(upTo(random, 300, 1800))
		for _, g := range s.targets {
			g.Spoil(nil)
		}
		time.Sleep(upTo(random, 1, 3000))
	}
}

// targetDeaths kills targets that are processes, and starts them again at the same address.
func (s *soak) targetDeaths(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		g, down := s.killable[random.IntN(len(s.killable))], upTo(random, 1, 1500)
		if random.IntN(2) == 0 {
			down = upTo(random, 1, 50)
		}
		s.tell("%s: killed for %v", g.ID, down)
		g.kill()
		time.Sleep(down)
		g.start()
		time.Sleep(upTo(random, 50, 1000))
	}
}

// storeFaults strikes the store, and at times all hosts with it; the last strike does.
func (s *soak) storeFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		s.trouble(random)
		time.Sleep(upTo(random, 300, 1800))
		if random.IntN(3) == 0 {
			s.herd(random)
		}
		s.well()
		time.Sleep(upTo(random, 1, 800))
	}
	s.trouble(random)
	time.Sleep(upTo(random, 300, 1800))
	s.herd(random)
	s.well()
}

func (s *soak) well() {
	s.tell("store: well")
	s.rows.Trouble(faker.RowsTrouble{})
	s.calm(true)
}

// trouble draws what is wrong with the store.
func (s *soak) trouble(random *rand.Rand) {
	trouble := []faker.RowsTrouble{
		{},
		{Down: true},
		{Silent: true},
		{Down: true},
		{Silent: true},
		{Lost: 0.3, Late: 0.5, Delay: 5, LateBy: 1500},
		{Delay: 150},
		{Crowded: true},
	}[random.IntN(8)]
	if random.IntN(2) == 0 {
		for _, part := range []string{"", "p0", "p1", "p2", "p3"} {
			if random.IntN(2) == 0 {
				trouble.Parts = append(trouble.Parts, part)
			}
		}
	}
	if random.IntN(5) == 0 {
		s.tell("store: history forgotten")
		s.rows.Forget()
	}
	s.tell("store: %+v", trouble)
	s.calm(false)
	s.rows.Trouble(trouble)
}

// herd ends all hosts at the same moment and starts them again; the store is well again
// before that or after it.
func (s *soak) herd(random *rand.Rand) {
	off, trouble := upTo(random, 200, 1000), upTo(random, 1, 2500)
	s.power.Lock()
	s.calm(false)
	powerOff(s.hosts)
	s.tell("all hosts: off")
	time.Sleep(min(off, trouble))
	if trouble < off {
		s.well()
		s.calm(false)
		time.Sleep(off - trouble)
	}
	s.tell("all hosts: on")
	powerOn(s.hosts)
	if trouble < off {
		s.calm(true)
	}
	s.power.Unlock()
	time.Sleep(max(0, trouble-off))
}
