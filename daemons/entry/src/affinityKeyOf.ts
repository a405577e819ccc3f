import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { createHash } from "node:crypto";

const PREFIX_CHARACTERS = 512;

/** A key that requests with the same leading part of their prompt share. */
export function affinityKeyOf(body: JsonObject): string {
    const prompt = JSON.stringify(body["messages"] ?? body["prompt"] ?? "").slice(0, PREFIX_CHARACTERS);
    return createHash("md5").update(prompt).digest("base64");
}
