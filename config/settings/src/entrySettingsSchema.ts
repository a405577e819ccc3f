import { z } from "zod";
import { processSettingsShape } from "./processSettingsShape.js";

const DEFAULT_MAX_BODY_BYTES = 32 * 1024 * 1024;
const DEFAULT_MAX_FILE_BYTES = 1024 * 1024 * 1024;
const DEFAULT_MAX_CONCURRENT_LOADS = 4;
const DEFAULT_PARTITION_COUNT = 16;
const MAX_PARTITION_COUNT = 4096;

/** Schema of an entry's settings file. */
export const entrySettingsSchema = z.strictObject({
    ...processSettingsShape,
    /** Where callers and operators are served. */
    http: z.strictObject({
        host: z.string().default("127.0.0.1"),
        port: z.int().min(0).max(65_535),
        tls: z.strictObject({ certificateFile: z.string(), keyFile: z.string() }).optional(),
        maxBodyBytes: z.int().positive().default(DEFAULT_MAX_BODY_BYTES),
        maxFileBytes: z.int().positive().default(DEFAULT_MAX_FILE_BYTES),
    }),
    platform: z.strictObject({
        keyValueUrl: z.string(),
        instanceListUrl: z.string(),
        weightStoreUrl: z.string().optional(),
    }),
    /** SHA-256, in hexadecimal, of the first platform operator's key; used while no configuration exists. */
    bootstrapKeyHash: z.string().regex(/^[0-9a-f]{64}$/u).optional(),
    /** Folder for segments; none where the instance has no disk. */
    dataFolder: z.string().optional(),
    placement: z.strictObject({
        /** Loads of models and adapters that the weight store's rate allows at once in the region. */
        maxConcurrentLoads: z.int().min(1).default(DEFAULT_MAX_CONCURRENT_LOADS),
    }).default({ maxConcurrentLoads: DEFAULT_MAX_CONCURRENT_LOADS }),
    batch: z.strictObject({
        partitionCount: z.int().min(1).max(MAX_PARTITION_COUNT).default(DEFAULT_PARTITION_COUNT),
        /** How long jobs that have ended are kept, whole with their results; without end where it is left out. */
        retentionMs: z.int().positive().optional(),
        /** Where items and results are kept; the same on every entry of a deployment. */
        segmentStore: z.enum(["key-value", "data-folders"]).default("key-value"),
    }).default({ partitionCount: DEFAULT_PARTITION_COUNT, segmentStore: "key-value" }),
});
