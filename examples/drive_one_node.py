"""Drives one node on virtual time, without sockets: a chat of three tokens."""

import random

from plumarch.core import clock, data, events
from plumarch.node import node

time = clock.ManualClock(1_000)
one = node.Node("a1#1", "a", time, random.Random(7))
engine = data.Endpoint(
    "engine-1", "a", data.EndpointKind.ENGINE, "http://engine-1", targets=("writer",)
)
one.handle(events.EndpointsSeen((engine,)))

chat = data.Request(
    "a1#1/1",
    "okefenokee",
    "writer",
    data.EndpointKind.ENGINE,
    data.RequestClass.CHAT,
    max_tokens=3,
)
for action in one.handle(events.Arrived("caller-1", chat)):
    print(type(action).__name__)

for position, token in enumerate(("all ", "is ", "well")):
    time.advance_to(time.now() + 30)
    one.handle(events.Tick())
    one.handle(events.EndpointTokens(chat.id, 1_001, position, (token,)))

for action in one.handle(events.EndpointDone(chat.id, 1_001, data.Reply())):
    if isinstance(action, events.TellEnd):
        print(action.outcome, "".join(action.reply.tokens if action.reply else ()))
