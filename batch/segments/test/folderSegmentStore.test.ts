import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import assert from "node:assert/strict";
import { mkdtemp, readdir, rm, truncate, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { test, type TestContext } from "node:test";
import { FolderSegmentStore } from "../src/folderSegmentStore.js";

async function createStore(context: TestContext): Promise<{ store: FolderSegmentStore; dataFolder: string; }> {
    const dataFolder = await mkdtemp(path.join(tmpdir(), "segments-"));
    context.after(() => rm(dataFolder, { recursive: true }));
    const store = new FolderSegmentStore({ dataFolder });
    await store.prepare();
    return { store, dataFolder };
}

const pathOf = (dataFolder: string, digest: string) => path.join(dataFolder, "segments", digest.slice(0, 2), digest);

test("a truncated segment is rejected, then removed, and can be stored again", async context => {
    const { store, dataFolder } = await createStore(context);
    const bytes = Buffer.from("a line\nanother line\n");
    const digest = await store.put(bytes);
    assert.deepEqual(await store.get(digest), bytes);
    await truncate(pathOf(dataFolder, digest), 3);
    await assert.rejects(store.get(digest), { code: "ERR_KNAPWEED_SEGMENT_CORRUPT" });
    await assert.rejects(store.get(digest), { code: "ERR_KNAPWEED_SEGMENT_NOT_FOUND" });
    await store.put(bytes);
    assert.deepEqual(await store.get(digest), bytes);
});

test("a store serves the segments of an earlier instance and removes its unfinished files", async context => {
    const { store, dataFolder } = await createStore(context);
    const digest = await store.put(Buffer.from("kept"));
    await writeFile(`${pathOf(dataFolder, digest)}.1.0.partial`, "half");
    const next = new FolderSegmentStore({ dataFolder });
    await next.prepare();
    assert.equal(Buffer.from(await next.get(digest)).toString(), "kept");
    assert.deepEqual(await readdir(path.dirname(pathOf(dataFolder, digest))), [digest]);
});

test("put rejects with SEGMENT_NOT_KEPT if the folder of the segment can't be created", async context => {
    const { store, dataFolder } = await createStore(context);
    const bytes = Buffer.from("blocked");
    await writeFile(path.join(dataFolder, "segments", digestOf(bytes).slice(0, 2)), "a file where a folder must be");
    await assert.rejects(store.put(bytes), { code: "ERR_KNAPWEED_SEGMENT_NOT_KEPT" });
});

test("removeUnreferenced removes only old segments without a reference", async context => {
    const { store } = await createStore(context);
    const kept = await store.put(Buffer.from("kept"));
    const dropped = await store.put(Buffer.from("dropped"));
    const future = Number.MAX_SAFE_INTEGER;
    assert.equal(await store.removeUnreferenced(new Set([kept]), 0), 0);
    assert.equal(await store.removeUnreferenced(new Set<SegmentDigest>([kept]), future), 1);
    await assert.rejects(store.get(dropped), { code: "ERR_KNAPWEED_SEGMENT_NOT_FOUND" });
});

test("an invalid digest is rejected before it is used in a path", async context => {
    const { store } = await createStore(context);
    await assert.rejects(store.remove("../../x" as SegmentDigest), { code: "ERR_KNAPWEED_SEGMENT_DIGEST_INVALID" });
});
