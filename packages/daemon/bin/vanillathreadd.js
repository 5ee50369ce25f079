#!/usr/bin/env node
import { runDaemon } from '../dist/index.js'

process.exit(await runDaemon(process.argv.slice(2)))
