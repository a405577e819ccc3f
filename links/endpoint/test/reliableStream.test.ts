import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReliableStream } from "../src/reliableStream.js";

const SEED = 20_261_203;

function createStream(): ReliableStream<number> {
    return new ReliableStream({
        encode: (message, number) => new Uint8Array([number, message]),
        maxUnacknowledgedBytes: 20,
    });
}

test("messages arrive exactly once and in order over connections that are cut at any point", () => {
    const steps = fc.array(fc.oneof(fc.constant("send"), fc.constant("write"), fc.constant("cut"), fc.constant("ack")));
    fc.assert(
        fc.property(steps, actions => {
            const sender = createStream();
            const receiver = createStream();
            const arrived: number[] = [];
            let sent = 0;
            const write = () => {
                const bytes = sender.next();
                if (bytes !== undefined && receiver.receive(bytes[0]) === "deliver") {
                    arrived.push(bytes[1]);
                }
                return bytes !== undefined;
            };
            actions.forEach(action => {
                if (action === "send") {
                    sent += 1;
                    sender.enqueue(sent);
                }
                else if (action === "write") {
                    write();
                }
                else if (action === "cut") {
                    sender.next();
                    sender.attach(receiver.received);
                }
                else {
                    sender.acknowledge(receiver.received);
                }
            });
            sender.attach(receiver.received);
            while (write()) {
                sender.acknowledge(receiver.received);
            }
            assert.deepEqual(arrived, Array.from({ length: sent }, (_, index) => index + 1));
        }),
        { numRuns: 1000, seed: SEED },
    );
});

test("a stream stops numbering new messages at its limit of unacknowledged bytes", () => {
    const stream = createStream();
    Array.from({ length: 30 }, (_, index) => stream.enqueue(index));
    const written = Array.from({ length: 30 }, () => stream.next()).filter(bytes => bytes !== undefined);
    assert.equal(written.length, 10);
    assert.ok(stream.isCongested);
    stream.acknowledge(10);
    assert.ok(stream.next() !== undefined);
});

test("a gap and an acknowledgement of a message that was never sent are rejected", () => {
    const stream = createStream();
    assert.throws(() => stream.receive(2), { code: "ERR_KNAPWEED_LINK_BAD_MESSAGE" });
    assert.throws(() => stream.acknowledge(1), { code: "ERR_KNAPWEED_LINK_BAD_MESSAGE" });
});
