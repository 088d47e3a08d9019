//go:build deps

// Package deps keeps the module's requirements until each is imported by a package.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-faster/errors"
	_ "github.com/gofiber/fiber/v2"
	_ "github.com/google/uuid"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/samber/do/v2"
	_ "github.com/samber/lo"
	_ "github.com/stretchr/testify/require"
	_ "github.com/twitchtv/twirp"
	_ "github.com/urfave/cli/v3"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
