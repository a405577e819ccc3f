import { z } from "zod";
import { processSettingsShape } from "./processSettingsShape.js";

const DEFAULT_MAX_BODY_BYTES = 32 * 1024 * 1024;
const DEFAULT_MAX_FILE_BYTES = 1024 * 1024 * 1024;
const DEFAULT_MAX_CONCURRENT_LOADS = 4;
const DEFAULT_PARTITION_COUNT = 16;
const MAX_PARTITION_COUNT = 4096;

/** Schema of the settings file of an entry. */
export const entrySettingsSchema = z.strictObject({
    ...processSettingsShape,
    /** Address and limits of the HTTP server for callers and operators. */
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
    /** SHA-256 of the first platform operator's key, in hexadecimal. Accepted only while no configuration exists. */
    bootstrapKeyHash: z.string().regex(/^[0-9a-f]{64}$/u).optional(),
    /** Folder for segments. Undefined if the instance has no disk. */
    dataFolder: z.string().optional(),
    placement: z.strictObject({
        /** Maximum number of concurrent model and adapter loads in the region. Limited by the weight store's rate. */
        maxConcurrentLoads: z.int().min(1).default(DEFAULT_MAX_CONCURRENT_LOADS),
    }).default({ maxConcurrentLoads: DEFAULT_MAX_CONCURRENT_LOADS }),
    batch: z.strictObject({
        partitionCount: z.int().min(1).max(MAX_PARTITION_COUNT).default(DEFAULT_PARTITION_COUNT),
        /** How long ended jobs are kept with all their results. Undefined keeps them forever. */
        retentionMs: z.int().positive().optional(),
        /** Where items and results are stored. Every entry of a deployment needs the same value. */
        segmentStore: z.enum(["key-value", "data-folders"]).default("key-value"),
    }).default({ partitionCount: DEFAULT_PARTITION_COUNT, segmentStore: "key-value" }),
});
