# An installation on one machine: `threadhill dev` starts it, `threadhill plan` and `threadhill apply` change it.

variable "boxes" {
  type        = number
  default     = 3
  description = "cache boxes of node costa-1; on a release day four more"
}

locals {
  base = 19000
}

settings {
  cold_s          = 4 # a stand-in box warms in this time
  upper_cold_s    = 4
  settle_s        = 1.0
  client_kb_per_s = 4000

  class "clip-parts" {
    repeat         = "safe"
    wanted_ms      = 600
    wanted_stretch = 1.6
    given_up_ms    = 5000
    worth          = 2
    late_worth     = 0.15
    parts          = true
  }

  class "art-pages" {
    repeat         = "safe"
    wanted_ms      = 300
    wanted_stretch = 2
    given_up_ms    = 3000
    late_worth     = 0.2
  }

  class "license-buy" {
    repeat      = "keyed"
    wanted_ms   = 700
    given_up_ms = 3000
    worth       = 3
    window_ms   = 2000
    write       = true
  }
}

hub "sierra" {}

node "costa-1" {
  hub  = hub.sierra
  load = 0.5
}

library "master" {
  hub     = hub.sierra
  address = "127.0.0.1:${local.base}"
  size    = 8
  warm    = true
}

parent "upper" {
  for_each = toset(["a", "b"])
  hub      = hub.sierra
  address  = format("127.0.0.1:%d", local.base + (each.key == "a" ? 1 : 2))
  warm     = true
}

box "costa" {
  for_each   = range(var.boxes)
  node       = node.costa-1
  address    = "127.0.0.1:${local.base + 10 + each.value}"
  fills_from = values(parent.upper)
  warm       = each.value < 3 # the first three run already
}

proxy "p" {
  for_each = toset(["1", "2"])
  node     = node.costa-1
  listen   = "127.0.0.1:${local.base + 100 + tonumber(each.key)}"
}

tenant "agencies" {
  zones = ["route.example"]
  quota = 200
}
