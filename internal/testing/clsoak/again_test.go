// This file defines cases of the checks about sends of one ID.

package clsoak

import "github.com/chestnutlead/chestnutlead/platform/clstandplatform"

// checkCase does what a check must find, and has a part of what it says.
type checkCase struct {
	name string
	want string
	do   func(s *Soak)
}

var sendChecks = []checkCase{
	{"second send ran twice", "/once/x.2 ran 2 times, 1 are allowed", func(s *Soak) {
		s.ran(runOf("x", "e1", "/once/x"))
		s.ran(sendOf("x", 2, "e1", "/once/x"))
		s.ran(sendOf("x", 2, "e2", "/once/x"))
	}},
	{"second send refused and ran", "x.2 was refused as not run and ran 1 times", func(s *Soak) {
		a := s.attemptOf("x", "/once/")
		a.reply.Status, a.send = 503, "x.2"
		s.count(a)
		s.ran(runOf("x", "e1", "/once/x"))
		s.ran(sendOf("x", 2, "e1", "/once/x"))
	}},
	{"first send refused and ran with the second", "x was refused as not run and ran 1 times", func(s *Soak) {
		a := s.attemptOf("x", "/once/")
		a.reply.Status = 503
		s.count(a)
		s.ran(sendOf("x", 2, "e1", "/once/x"))
		s.ran(runOf("x", "e1", "/once/x"))
	}},
	{"answer to the first send", `x.2 got an answer sealed "sealed.e1.x"`, func(s *Soak) {
		a := s.attemptOf("x", "/repeat/")
		a.reply.Status, a.reply.Whole, a.reply.Seal, a.send = 200, true, clstandplatform.Seal("e1", "x"), "x.2"
		s.ran(runOf("x", "e1", "/repeat/x"))
		s.ran(sendOf("x", 2, "e1", "/repeat/x"))
		s.judge(a)
	}},
}
